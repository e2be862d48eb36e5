/** The HTTP interface for callers and operators. */
package org.lovagerack.daemon.http;
