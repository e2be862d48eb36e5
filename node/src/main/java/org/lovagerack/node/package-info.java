/** The program of an entry VM on a platform with a metadata store and leased workers. */
package org.lovagerack.node;
