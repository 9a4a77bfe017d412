/**
 * The exchange: serves one caller's request through calls to backend servers, until its answer is
 * delivered.
 */
@NullMarked
package io.rhubarbward.request;

import org.jspecify.annotations.NullMarked;
