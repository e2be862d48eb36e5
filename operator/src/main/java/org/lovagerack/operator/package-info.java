/** The command line lovagerack. */
package org.lovagerack.operator;
