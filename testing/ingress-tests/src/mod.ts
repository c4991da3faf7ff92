/** Tests of an entry on the platform; what other tests use of them. */

export { call, createConfiguration, KEY, ROUTES, waitFor } from "./fixtures.ts";
export type { CallAnswer } from "./fixtures.ts";
export { NodeProcess } from "./node_process.ts";
