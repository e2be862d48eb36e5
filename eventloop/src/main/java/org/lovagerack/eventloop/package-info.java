/** Timer service and HTTP client that run on a Vert.x event loop. */
package org.lovagerack.eventloop;
