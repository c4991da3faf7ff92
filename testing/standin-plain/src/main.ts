/** Runs the plain stand-in as a process. */

import { runStandin } from "@dandelionbank/standin-common";
import { PLAIN_SETTINGS, startPlain } from "./mod.ts";

await runStandin({ defaults: PLAIN_SETTINGS, start: startPlain });
