/** Calls of operators: publish, read back, drain, burn. */
package org.lovagerack.daemon.operator;
