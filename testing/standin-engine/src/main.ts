/** Runs the engine stand-in as a process. */

import { runStandin } from "@dandelionbank/standin-common";
import { ENGINE_SETTINGS, startEngine } from "./mod.ts";

await runStandin({ defaults: ENGINE_SETTINGS, start: startEngine });
