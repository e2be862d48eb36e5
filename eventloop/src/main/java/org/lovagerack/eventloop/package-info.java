/**
 * Vert.x behind the interfaces of the project: the timer service and HTTP calls of an event loop.
 */
package org.lovagerack.eventloop;
