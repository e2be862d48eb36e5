/** Immutable data types shared by all modules. */
package org.lovagerack.foundation.data;
