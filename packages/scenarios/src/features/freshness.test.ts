/** Scenarios about the staleness bound. */

import { defineFeature } from "../lib/defineFeature.js";
import { DeliveryFixture } from "../lib/DeliveryFixture.js";
import { deliverySteps, fleetSteps } from "../lib/steps/fleetSteps.js";
import { stepSteps } from "../lib/steps/stepSteps.js";

defineFeature<DeliveryFixture>("freshness", [fleetSteps, deliverySteps, stepSteps], seed => new DeliveryFixture(seed));
