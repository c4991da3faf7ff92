/** The entry process on the platform, which `platform-node` runs. */

export { IngressProcess } from "./ingress_process.ts";
export type { IngressOptions } from "./ingress_process.ts";
