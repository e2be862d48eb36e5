/** Requests of operators: publish notes, drain, report the deployment in force and the burn. */
package org.lovagerack.daemon.operator;
