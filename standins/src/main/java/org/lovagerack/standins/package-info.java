/** Stand-ins for the platform and for upstreams. */
package org.lovagerack.standins;
