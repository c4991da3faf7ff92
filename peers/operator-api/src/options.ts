/** What an entry provides to the operator interface. */

import type { Logger } from "@dandelionbank/log-events";
import type { ObjectStore, StatusReport, View } from "@dandelionbank/types";

export interface OperatorApiOptions {
  readonly store: ObjectStore;
  /** Returns `undefined` until the entry has read the platform's objects. */
  readonly readView: () => View | undefined;
  readonly readStatus: () => StatusReport;
  readonly logger: Logger;
  /** Digest of a key that is accepted as long as no operator object exists. */
  readonly bootstrapKeyDigest?: string;
}
