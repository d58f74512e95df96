/** Tables of entities: columns in primitive arrays, rows addressed by int handles. */
@NullMarked
package org.chivecross.model.table;

import org.jspecify.annotations.NullMarked;
