package org.chivecross.features;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the feature files, which describe the guarantees of the balancer in the users' words. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
@ConfigurationParameter(
    key = "cucumber.glue",
    value = "org.chivecross.logic.session,org.chivecross.logic.config")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class FeaturesTest {}
