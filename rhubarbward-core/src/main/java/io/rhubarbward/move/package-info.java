/**
 * Progressive rollouts of backend server versions: traffic shifts to the new version in stages, a
 * canary analysis compares both versions, and a faulty version is rolled back.
 */
@NullMarked
package io.rhubarbward.move;

import org.jspecify.annotations.NullMarked;
