/** A soak of real entry processes with a simulated store, engines and callers. */

export { runSiteSoak } from "./run_site_soak.ts";
export type { SiteSoakOptions, SiteSoakSummary } from "./run_site_soak.ts";
