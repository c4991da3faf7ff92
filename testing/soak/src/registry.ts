/** Every soak, one line each. */

import type { Soak } from "./soak.ts";
import { REQUESTS_SOAK } from "./requests/requests_soak.ts";

export const SOAKS: readonly Soak[] = [
  REQUESTS_SOAK,
];
