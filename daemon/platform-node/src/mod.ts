/** The program that runs on each VM. */

export { runNode } from "./run_node.ts";
export type { NodeOptions } from "./run_node.ts";
