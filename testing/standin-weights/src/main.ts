/** Runs the weight store's stand-in as a process. */

import { runStandin } from "@dandelionbank/standin-common";
import { startWeights, WEIGHTS_SETTINGS } from "./mod.ts";

await runStandin({ defaults: WEIGHTS_SETTINGS, start: startWeights });
