/** Starts a node of the platform with this process's arguments. */

import process from "node:process";
import { runNode } from "./run_node.ts";

/** Set when the program is bundled. */
declare const DANDELIONBANK_VERSION: string;

const version = typeof DANDELIONBANK_VERSION === "string"
  ? DANDELIONBANK_VERSION
  : "development";
const options = {
  args: process.argv.slice(2),
  environment: process.env,
  version,
};
void runNode(options).then((exitCode) => process.exit(exitCode));
