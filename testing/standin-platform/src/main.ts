/** Runs the platform stand-in as a process. */

import { runStandin } from "@dandelionbank/standin-common";
import { PLATFORM_SETTINGS, startPlatform } from "./mod.ts";

await runStandin({ defaults: PLATFORM_SETTINGS, start: startPlatform });
