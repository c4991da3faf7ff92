/** What the operators' interface needs of its entry. */

import type { Logger } from "@dandelionbank/log-events";
import type { ObjectStore, StatusReport, View } from "@dandelionbank/types";

export interface OperatorApiOptions {
  readonly store: ObjectStore;
  /** `undefined` as long as the entry has not read the platform yet. */
  readonly readView: () => View | undefined;
  readonly readStatus: () => StatusReport;
  readonly logger: Logger;
  /** Digest of a key that counts while the platform holds no operator. */
  readonly bootstrapKeyDigest?: string;
}
