/** Service-level burn. */
package org.lovagerack.burn;
