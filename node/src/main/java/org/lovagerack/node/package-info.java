/** Program of an entry VM for a platform with a metadata store and leased workers. */
package org.lovagerack.node;
