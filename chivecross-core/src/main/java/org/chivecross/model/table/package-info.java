/**
 * Tables of services, tenants and targets: columns in primitive arrays, rows addressed by index.
 */
@NullMarked
package org.chivecross.model.table;

import org.jspecify.annotations.NullMarked;
