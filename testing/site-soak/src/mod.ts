/** A soak with real entry processes. */

export { runSiteSoak } from "./run_site_soak.ts";
export type { SiteSoakOptions, SiteSoakSummary } from "./run_site_soak.ts";
