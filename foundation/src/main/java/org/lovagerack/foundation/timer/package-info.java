/**
 * Time as a service: monotonic time and timer callbacks, with a driven implementation for tests.
 */
package org.lovagerack.foundation.timer;
