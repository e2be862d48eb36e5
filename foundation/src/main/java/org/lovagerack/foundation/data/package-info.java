/** Immutable data types shared by all parts. */
package org.lovagerack.foundation.data;
