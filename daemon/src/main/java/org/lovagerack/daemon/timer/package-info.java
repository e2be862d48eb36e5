/** The timer service on the event loop of the daemon. */
package org.lovagerack.daemon.timer;
