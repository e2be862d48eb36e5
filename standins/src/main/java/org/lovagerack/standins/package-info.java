/** Stand-ins of the platform and of upstreams. */
package org.lovagerack.standins;
