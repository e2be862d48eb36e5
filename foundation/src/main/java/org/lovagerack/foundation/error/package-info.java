/** Error kinds and the failures that are reported to callers. */
package org.lovagerack.foundation.error;
