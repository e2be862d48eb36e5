/** Settings of an entry VM. */
package org.lovagerack.node.settings;
