from ${from} to ${to}<#if clocks?size gt 1>, of the gateways<#list clocks as clock> ${clock.gateway} (<#if clock.known>clock ${clock.ahead?string("0.000")} s ahead<#else>clock not known, taken as it is</#if>)</#list></#if>
<#list volumes as volume>

volume ${volume.name}: ${volume.report.operations()} operations, ${volume.report.met()} in time, ${volume.report.missed()} not, ${volume.report.rejected()} declined, ${volume.report.abandoned()} scrapped, ${volume.report.cancelled()} left by their client
  utility lost: ${volume.report.lostWeight()?string("0.0")}
<#if volume.main??>
  main cause of its waits: ${volume.main}
    ${(volume.share * 100)?string("0")} % of its waiting (${volume.least?string("0.000")} to ${volume.most?string("0.000")} s), confidence ${volume.confidence}
    most of it from ${volume.when}
<#if volume.zone??>
    most nodes of that zone at once: <#list volume.zone as node>${node?c}<#sep>, </#list>
</#if>
    ${volume.advice}
</#if>
  by part of its plan:
<#list volume.plan as plan>
    ${plan.name?right_pad(8)} ${plan.line.units()?string("0.0")?left_pad(10)} units  ${plan.line.met()?c?left_pad(8)} in time ${plan.line.missed()?c?left_pad(8)} not  p50 ${plan.line.p50()?string("0.0")} ms  p99 ${plan.line.p99()?string("0.0")} ms  utility lost ${plan.line.lostWeight()?string("0.0")}
</#list>
  where its time went:
<#list volume.parts as part>
    ${(part.share * 100)?string("0.0")?left_pad(5)} %  ${part.seconds?string("0.000")?left_pad(10)} s  ${part.text}
</#list>
  what caused it (of its waiting):
<#list volume.causes as cause>
    <#if cause.work>      -<#else>${(cause.share * 100)?string("0.0")?left_pad(5)} %</#if>  ${cause.seconds?string("0.000")?left_pad(10)} s  ${cause.text}<#if cause.charged.observedShare() lt 0.7> (estimate: ${(cause.charged.lowerBound() / 1000)?string("0.000")} to ${(cause.charged.upperBound() / 1000)?string("0.000")} s)</#if>
</#list>
</#list>
