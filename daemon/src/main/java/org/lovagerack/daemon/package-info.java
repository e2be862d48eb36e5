/** The entry daemon lovagerackd. */
package org.lovagerack.daemon;
