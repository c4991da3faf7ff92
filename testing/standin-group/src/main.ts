/** Runs the group stand-in as a process. */

import { runStandin } from "@dandelionbank/standin-common";
import { GROUP_SETTINGS, startGroup } from "./mod.ts";

await runStandin({ defaults: GROUP_SETTINGS, start: startGroup });
