/** Runs the weight store stand-in as a process. */

import { runStandin } from "@dandelionbank/standin-common";
import { startWeights, WEIGHTS_SETTINGS } from "./mod.ts";

await runStandin({ defaults: WEIGHTS_SETTINGS, start: startWeights });
