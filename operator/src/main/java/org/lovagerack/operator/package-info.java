/** The command line lovagerack for operators. */
package org.lovagerack.operator;
