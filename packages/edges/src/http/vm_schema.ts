import {
  failureDomainId,
  modelId,
  regionId,
  serviceId,
} from "@foxtailwind/core";
import * as z from "zod";

const vmRoleSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("entry") }),
  z.object({
    kind: z.literal("engine"),
    model: z.string().min(1).transform(modelId),
    checksFencing: z.boolean(),
  }),
  z.object({
    kind: z.literal("service"),
    service: z.string().min(1).transform(serviceId),
  }),
]);

/** A VM in the platform's list. */
export const vmSchema = z.object({
  id: z.string().min(1),
  address: z.string().min(1),
  peerAddress: z.string().min(1).exactOptional(),
  region: z.string().min(1).transform(regionId),
  failureDomain: z.string().min(1).transform(failureDomainId),
  role: vmRoleSchema,
  state: z.enum(["live", "leaving"]),
});

/** The platform's list of VMs. */
export const vmListSchema = z.object({ vms: z.array(vmSchema) });
