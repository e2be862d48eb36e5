/** Numbered log events. */
package org.lovagerack.foundation.event;
