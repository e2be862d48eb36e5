/** Detection of pauses of the process. */
package org.lovagerack.daemon.timer;
