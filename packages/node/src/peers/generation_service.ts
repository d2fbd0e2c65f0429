import { engineId, type Failure } from "@foxtailwind/core";
import {
  type GenerationEnd,
  type GenerationFrame,
  GenerationSink,
} from "@foxtailwind/edges";
import {
  type GenerateAnswer,
  type GenerateRequest,
  PeerService,
} from "@foxtailwind/protocol";
import type { ServerWritableStream } from "@grpc/grpc-js";
import type { Result } from "neverthrow";
import type { SteadyClock } from "../clock/steady_clock.ts";
import type { GenerationRouter } from "../serving/generation_router.ts";
import { toFailureMessage } from "./failure_message.ts";
import { fromGenerateRequest } from "./generate_message.ts";
import type { PeerRegistration } from "./peer_server.ts";

/**
 * Answers peers that hand requests over to engines controlled here.
 * @param router Runs the requests.
 * @param clock This VM's clock.
 * @returns The service, to register.
 */
export function generationService(
  router: GenerationRouter,
  clock: SteadyClock,
): PeerRegistration {
  return {
    definition: PeerService,
    implementation: {
      generate(call: ServerWritableStream<GenerateRequest, GenerateAnswer>) {
        const generation = fromGenerateRequest(call.request, clock.now());
        const handle = router.runHere(
          engineId(call.request.engine),
          generation,
          new PeerSink(call),
        );
        call.on("cancelled", () => {
          handle.cancel();
        });
      },
    },
  };
}

class PeerSink extends GenerationSink {
  readonly #call: ServerWritableStream<GenerateRequest, GenerateAnswer>;

  constructor(call: ServerWritableStream<GenerateRequest, GenerateAnswer>) {
    super();
    this.#call = call;
  }

  override onFrame(frame: GenerationFrame): void {
    this.#call.write({
      part: { $case: "frame", value: { ...frame, tokens: [...frame.tokens] } },
    });
  }

  override onEnd(result: Result<GenerationEnd, Failure>): void {
    const part: GenerateAnswer["part"] = result.match(
      (end) => ({ $case: "end", value: end }),
      (failure) => ({ $case: "failure", value: toFailureMessage(failure) }),
    );
    this.#call.write({ part });
    this.#call.end();
  }
}
