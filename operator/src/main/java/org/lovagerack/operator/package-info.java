/** The operator command line {@code lovagerack}. */
package org.lovagerack.operator;
