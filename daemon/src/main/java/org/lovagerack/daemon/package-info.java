/** The entry daemon {@code lovagerackd}: start, wiring and shutdown of one entry VM. */
package org.lovagerack.daemon;
