package brookpath.testing.model;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** A field that is no part of the state that the explorer tells apart. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.FIELD)
@interface NotHashed {}
