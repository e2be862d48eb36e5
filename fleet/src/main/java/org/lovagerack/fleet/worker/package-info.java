/** Workers: their directory, and the requests that owners send to them. */
package org.lovagerack.fleet.worker;
