/** Small stand-ins for engines, plain services and the weight store. */
package io.siskintrail.fake;
