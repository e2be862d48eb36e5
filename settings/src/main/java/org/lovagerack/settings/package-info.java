/** Settings of the entry daemon: JSON, checked against a schema before any port is opened. */
package org.lovagerack.settings;
