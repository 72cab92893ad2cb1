/** The control replica: consensus shell, controllers and the administration API. */
package io.siskintrail.control;
