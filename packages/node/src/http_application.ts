import { type DynamicModule, Module } from "@nestjs/common";
import { NestFactory } from "@nestjs/core";
import {
  FastifyAdapter,
  type NestFastifyApplication,
} from "@nestjs/platform-fastify";
import { refuseRepeatedHeaders } from "./callers/repeated_headers.ts";
import { HttpProblemFilter } from "./callers/http_problem_filter.ts";
import { CALLER_CONTROLLERS } from "./callers/mod.ts";
import { servicesPlugin } from "./callers/services_plugin.ts";
import { answerUnreadable } from "./callers/unreadable_request.ts";
import { DaemonParts } from "./daemon_parts.ts";
import { countRequests } from "./drain/mod.ts";
import type { ComponentLogger } from "./logging/component_logger.ts";
import { OPERATOR_CONTROLLERS } from "./operators/mod.ts";
import type { Settings } from "./settings/settings.ts";
import { TELEMETRY_CONTROLLERS } from "./telemetry/mod.ts";

/** How long a caller may take to send a complete request. */
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 75_000;

@Module({})
class HttpModule {}

/**
 * Creates the HTTP application of a daemon.
 * @param parts The daemon's components.
 * @param logger Logs unexpected errors of requests.
 * @returns The application, not yet listening.
 */
export async function createHttpApplication(
  parts: DaemonParts,
  logger: ComponentLogger,
): Promise<NestFastifyApplication> {
  const module: DynamicModule = {
    module: HttpModule,
    controllers: [
      ...CALLER_CONTROLLERS,
      ...OPERATOR_CONTROLLERS,
      ...TELEMETRY_CONTROLLERS,
    ],
    providers: [{ provide: DaemonParts, useValue: parts }],
  };
  const application = await NestFactory.create<NestFastifyApplication>(
    module,
    new FastifyAdapter(fastifyOptions(parts.settings)),
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- Nest's own options are a class.
    { logger: false, bodyParser: false },
  );
  application.useGlobalFilters(new HttpProblemFilter(logger));
  const fastify = application.getHttpAdapter().getInstance();
  fastify.removeContentTypeParser("text/plain");
  countRequests(fastify, parts);
  fastify.addHook("onRequest", refuseRepeatedHeaders);
  await fastify.register(servicesPlugin(parts));
  return application;
}

function fastifyOptions({ limits }: Settings) {
  return {
    bodyLimit: limits.body_bytes,
    requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
    http: { maxHeaderSize: limits.header_bytes },
    clientErrorHandler: answerUnreadable,
    // Handlers that need a request id create it themselves.
    genReqId: () => "",
  };
}
