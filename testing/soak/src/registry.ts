/** The list of all soaks. */

import type { Soak } from "./soak.ts";
import { CONFIG_SOAK } from "./config/config_soak.ts";
import { LIMITS_SOAK } from "./limits/limits_soak.ts";
import { LEASES_SOAK } from "./leases/leases_soak.ts";
import { MAP_SOAK } from "./map/map_soak.ts";
import { PROMPTS_SOAK } from "./prompts/prompts_soak.ts";
import { REQUESTS_SOAK } from "./requests/requests_soak.ts";

export const SOAKS: readonly Soak[] = [
  LEASES_SOAK,
  MAP_SOAK,
  REQUESTS_SOAK,
  LIMITS_SOAK,
  CONFIG_SOAK,
  PROMPTS_SOAK,
];
