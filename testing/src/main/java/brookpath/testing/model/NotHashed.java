package brookpath.testing.model;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Excludes a field from {@link StateHash}, so that it does not distinguish states in the exploration. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.FIELD)
@interface NotHashed {}
