package org.chivecross.features;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/** Runs the features that tell in the users' words what always holds. */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("features")
@ConfigurationParameter(
    key = "cucumber.glue",
    value = "org.chivecross.logic.session,org.chivecross.logic.config")
@ConfigurationParameter(key = "cucumber.publish.quiet", value = "true")
class FeaturesTest {}
