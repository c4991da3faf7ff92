/** Every soak, one line each. */

import type { Soak } from "./soak.ts";
import { LEASES_SOAK } from "./leases/leases_soak.ts";
import { MAP_SOAK } from "./map/map_soak.ts";
import { REQUESTS_SOAK } from "./requests/requests_soak.ts";

export const SOAKS: readonly Soak[] = [
  LEASES_SOAK,
  MAP_SOAK,
  REQUESTS_SOAK,
];
